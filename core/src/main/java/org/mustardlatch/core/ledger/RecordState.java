package org.mustardlatch.core.ledger;

/** State of a ledger record. */
public enum RecordState {
  /**
   * An attempt has the key and may run now or later. Only the node that started the attempt may
   * request a change of the record.
   */
  STARTED('S'),
  /** The attempt ran and the application responded. */
  FINISHED('F'),
  /** The attempt did not run and never will; another attempt may use the key. */
  CANCELLED('C'),
  /** The attempt was dispatched, but whether it ran is unknown. */
  UNKNOWN('U');

  private final char letter;

  RecordState(char letter) {
    this.letter = letter;
  }

  char letter() {
    return letter;
  }

  static RecordState ofLetter(char letter) {
    for (RecordState s : values()) {
      if (s.letter == letter) {
        return s;
      }
    }
    throw new IllegalArgumentException("unknown record state letter '" + letter + "'");
  }
}

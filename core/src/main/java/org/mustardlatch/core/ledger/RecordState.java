package org.mustardlatch.core.ledger;

/** State of a record. */
public enum RecordState {
  /** An attempt holds the key; it may run now or later. Only its starter may change the record. */
  STARTED('S'),
  /** The attempt ran and its answer is known. */
  FINISHED('F'),
  /** The attempt did not run and never will; another attempt may take the key. */
  CANCELLED('C'),
  /** The attempt was sent, but whether it ran is not known. */
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
    throw new IllegalArgumentException("unknown state letter '" + letter + "'");
  }
}

package org.mustardlatch.core.peer;

/** A message from one node to another. */
public sealed interface PeerMessage
    permits MembershipMessage,
        RolloutMessage,
        AdmissionMessage,
        BudgetMessage,
        EvidenceMessage,
        LedgerMessage {}

package org.mustardlatch.core.peer;

/** Message from one node to another. */
public sealed interface PeerMessage
    permits MembershipMessage,
        RolloutMessage,
        AdmissionMessage,
        BudgetMessage,
        EvidenceMessage,
        LedgerMessage,
        StreamMessage {}

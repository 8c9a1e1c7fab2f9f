/** Why a chunk was not added to a body: the body's own limit, or the budget that it shares with other bodies. */
export type BodyFault = 'tooLarge' | 'overBudget';

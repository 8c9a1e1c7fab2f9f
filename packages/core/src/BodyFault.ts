/** Why bytes were not added to a body: its own limit or the budget that it shares with others. */
export type BodyFault = 'tooLarge' | 'overBudget';

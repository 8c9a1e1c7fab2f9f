/** Why a slow request was not hedged: no free slot is known, or the operators' limit is used up. */
export type HedgeDenial = 'room' | 'limit';

/**
 * Why a holder needs a new epoch: its lease ended and no majority remembers the epoch; a witness left two renewals in a
 * row unanswered; or a witness promised never to renew the epoch again.
 */
export type ReRegisterReason = 'expired' | 'witnessSilent' | 'superseded';

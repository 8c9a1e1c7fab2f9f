/** `draining` members keep their lease but give their shards away; `gone` members were taken over. */
export type MemberState = 'active' | 'draining' | 'gone';

/** `draining` members keep their lease but move their shards away; `gone` members were taken over. */
export type MemberState = 'active' | 'draining' | 'gone';

/** Name and value of a header; a list of pairs keeps the order and spelling in which they were received. */
export type HeaderPair = readonly [name: string, value: string];

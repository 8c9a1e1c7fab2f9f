/** Name and value of one header, in the order and spelling in which it arrived. */
export type HeaderPair = readonly [name: string, value: string];

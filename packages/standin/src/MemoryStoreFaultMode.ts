/** Trouble of a stand-in store: none, no call works, or writes are carried out and their replies are lost. */
export type MemoryStoreFaultMode = 'none' | 'down' | 'repliesLost';

/** Fault of an in-memory store: `down` fails every call, `repliesLost` executes writes but reports a lost reply. */
export type MemoryStoreFaultMode = 'none' | 'down' | 'repliesLost';

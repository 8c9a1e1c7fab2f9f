import type { DocumentFault } from '#catalogue/DocumentFault.js';

/** A fault in a catalogue file. */
export type CatalogueFault = DocumentFault;

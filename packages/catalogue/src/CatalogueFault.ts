import type { DocumentFault } from '#catalogue/DocumentFault.js';

/** An error in a catalogue file, with its position. */
export type CatalogueFault = DocumentFault;

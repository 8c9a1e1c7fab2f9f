import type { DocumentFault } from '#catalogue/DocumentFault.js';

/** A fault in a settings file. */
export type SettingsFault = DocumentFault;

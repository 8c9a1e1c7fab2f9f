import type { EntryListener } from '#proxy/EntryListener.js';
import type { OwnerListener } from '#proxy/OwnerListener.js';

/** Callbacks from the request path to the rest of the daemon. */
export type RequestPathListener = EntryListener & OwnerListener;

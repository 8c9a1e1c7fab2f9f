import type { EntryListener } from '#proxy/EntryListener.js';
import type { OwnerListener } from '#proxy/OwnerListener.js';

/** What the request path tells the rest of the daemon. */
export type RequestPathListener = EntryListener & OwnerListener;

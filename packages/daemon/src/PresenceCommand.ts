/** Commands of charts/presence.json, with which a daemon joins or leaves its cell. */
export type PresenceCommand = 'join' | 'drain' | 'replaceControl';

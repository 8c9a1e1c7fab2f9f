/** Next step of a daemon that joins or leaves its cell. */
export type PresenceCommand = 'join' | 'drain' | 'replaceControl';

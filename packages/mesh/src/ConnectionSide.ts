/** The side that ended a connection between a caller and a daemon. */
export type ConnectionSide = 'caller' | 'daemon';

/**
 * State of the connection of one daemon to the store.
 * - `open`: all calls pass.
 * - `cut`: no call arrives.
 * - `late`: writes are carried out seconds after their calls failed.
 * - `mute`: writes are carried out at once, but their replies are lost.
 */
export type StorePath = 'open' | 'cut' | 'late' | 'mute';

/**
 * How calls of one daemon fare on their way to the store.
 * - `cut`: none arrives.
 * - `late`: writes are carried out seconds after their call failed.
 * - `mute`: writes are carried out at once, but their replies are lost.
 */
export type StorePath = 'open' | 'cut' | 'late' | 'mute';

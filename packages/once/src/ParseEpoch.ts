import type { AdmissionEpoch } from '#once/AdmissionEpoch.js';

const EPOCH_PATTERN = /^(\d{1,15})-(\d{1,15})$/;

/** Parses the form `{token}-{window}`; returns undefined if the text is malformed. */
export function parseEpoch(text: string): AdmissionEpoch | undefined {
  const match = EPOCH_PATTERN.exec(text);
  return match === null ? undefined : { token: Number(match[1]), window: Number(match[2]) };
}

import type { ReportedLoad } from '#mesh/ReportedLoad.js';

const PERCENT = 100;

/** Parses a load header of the form `running,waiting,slots[,percent]`; undefined if it is missing or malformed. */
export function parseLoad(text: string | undefined): ReportedLoad | undefined {
  const parts = (text ?? '').split(',').map(Number);
  const [running, waiting, slots, percent] = parts;
  if (running === undefined || waiting === undefined || slots === undefined) return undefined;
  if (parts.some((part) => !Number.isFinite(part) || part < 0)) return undefined;
  return { running, waiting, slots, slowdown: (percent ?? PERCENT) / PERCENT };
}

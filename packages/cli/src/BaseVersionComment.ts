const PATTERN = /^\/\/ Based on version (\d+) by .*$/m;

/** The comment by which a downloaded catalogue remembers the version that its changes are based on. */
export const baseVersionComment = Object.freeze({
  format: (version: number, author: string): string => `// Based on version ${version} by ${author}\n`,
  /** Reads the version; `undefined` without the comment. */
  read: (text: string): number | undefined => {
    const found = PATTERN.exec(text)?.[1];
    return found === undefined ? undefined : Number(found);
  },
});

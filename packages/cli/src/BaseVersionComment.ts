const PATTERN = /^\/\/ Based on version (\d+) by .*$/m;

/** Comment in a downloaded catalogue with the version that changes of the file are based on. */
export const baseVersionComment = Object.freeze({
  format: (version: number, author: string): string => `// Based on version ${version} by ${author}\n`,
  /** Reads the version; `undefined` if the text has no such comment. */
  read: (text: string): number | undefined => {
    const found = PATTERN.exec(text)?.[1];
    return found === undefined ? undefined : Number(found);
  },
});

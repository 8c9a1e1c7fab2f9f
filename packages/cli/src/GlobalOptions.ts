import type { CommandOption } from '#cli/CommandOption.js';

/** Options that all commands have. */
export const globalOptions: readonly CommandOption[] = [
  { usage: '--admin <url>', summary: 'Administration API of any daemon (or AMARANTHROUTER_ADMIN)' },
  { usage: '--token-file <file>', summary: 'File with the token of an owner (or AMARANTHROUTER_TOKEN)' },
  { usage: '--ca <file>', summary: 'Certificate that signs the one of the administration API' },
  { usage: '--json', summary: 'Print JSON for programs' },
];

import type { CommandOption } from '#cli/CommandOption.js';

/** Options of all commands. */
export const globalOptions: readonly CommandOption[] = [
  {
    usage: '--admin <url>',
    summary: 'URL of the administration API of any daemon (or AMARANTHROUTER_ADMIN)',
  },
  {
    usage: '--token-file <file>',
    summary: 'File with the bearer token of an owner (or AMARANTHROUTER_TOKEN)',
  },
  {
    usage: '--ca <file>',
    summary: 'CA certificate (PEM) that signed the certificate of the administration API',
  },
  { usage: '--json', summary: 'Print JSON instead of text' },
];

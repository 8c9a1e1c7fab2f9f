import { cac } from 'cac';

declare const AMARANTHROUTER_VERSION: string;

const cli = cac('amaranthrouter');
cli.help();
cli.version(AMARANTHROUTER_VERSION);
cli.parse();

import { readFileSync, readdirSync } from 'node:fs';
import t from 'tap';
import { globalOptions } from '#cli/GlobalOptions.js';
import { operatorCommands } from '#cli/OperatorCommands.js';

const PAGES = 'docs/operations';

const firstWord = (usage: string): string => usage.split(' ')[0] ?? '';

function findUnknownWords(line: string): readonly string[] {
  const [name = '', ...words] = line.split(/\s+/);
  if (name.startsWith('--')) return [];
  const command = operatorCommands.find(({ usage }) => firstWord(usage) === name);
  if (command === undefined) return [name];
  const known = [...globalOptions, ...command.options].map(({ usage }) => firstWord(usage));
  return words.filter((word) => word.startsWith('--') && !known.includes(word));
}

t.test('operations pages use existing commands', (t) => {
  const pages = readdirSync(PAGES).filter((file) => file.endsWith('.md'));
  const calls = pages.flatMap((file) => {
    const text = readFileSync(`${PAGES}/${file}`, 'utf8');
    return [...text.matchAll(/amaranthrouter ([a-z-][^`\n]*)/g)].map((match) => match[1]!);
  });
  t.ok(calls.length >= 20);
  for (const call of calls) t.same(findUnknownWords(call), [], call);
  t.end();
});

t.test('examples use existing options', (t) => {
  for (const example of operatorCommands.flatMap(({ examples }) => examples))
    t.same(findUnknownWords(example), [], example);
  t.end();
});

t.test('every metric is explained', (t) => {
  const page = readFileSync(`${PAGES}/metrics.md`, 'utf8');
  for (const file of ['CounterName', 'GaugeName']) {
    const source = readFileSync(`packages/metrics/src/${file}.ts`, 'utf8');
    const names = [...source.matchAll(/\| '(\w+)'/g)].map((match) => match[1]!);
    t.ok(names.length >= 10);
    for (const name of names)
      t.ok(page.includes(`\`${name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}\``), name);
  }
  t.end();
});

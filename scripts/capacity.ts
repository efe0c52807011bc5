/**
Writes docs/CAPACITY.md: what each role costs at the size to design for, from what `npm run bench` measured and what this
command measures itself.
*/
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import {collectFacts} from './capacity/facts.ts';
import {writePage} from './capacity/page.ts';

const DOCS_FOLDER = path.join(path.dirname(import.meta.dirname), 'docs');

const facts = await collectFacts(path.join(DOCS_FOLDER, 'data'));
const page = writePage(facts, {
	date: new Date().toISOString().slice(0, 10),
	processor: os.cpus()[0]?.model ?? 'unknown processor',
	cores: os.availableParallelism(),
	gigabytes: Math.round(os.totalmem() / 1e9),
	loadAverage: os.loadavg()[0]!,
	node: process.version,
});
await fs.writeFile(path.join(DOCS_FOLDER, 'CAPACITY.md'), page);
console.log(page.split('\n').filter(line => line.includes(', over**')).join('\n'));

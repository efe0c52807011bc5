/**
Makes docs/RESULTS.md from the journal of measured runs: each day's worth by state of the sources, and what is taken off most.
*/
import * as files from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as zod from 'zod';

const ROOT = path.dirname(import.meta.dirname);
const JOURNAL = path.join(ROOT, 'journal');
const PAGE = path.join(ROOT, 'docs/RESULTS.md');

/**
Prices named for a day: the largest ones tell what binds.
*/
const PRICES_SHOWN = 3;

const daySchema = zod.object({
	name: zod.string(),
	// The journal's own names: worth of the day, and the mark that it is held against.
	// eslint-disable-next-line @typescript-eslint/naming-convention
	G: zod.number().nullable(),
	top: zod.number().nullable(),
	served: zod.number().nullable(),
	refused: zod.number().nullable(),
	failed: zod.number().nullable(),
	gate: zod.boolean().nullable(),
	rules: zod.record(zod.string(), zod.unknown()),
	prices: zod.array(zod.tuple([zod.string(), zod.number(), zod.number()])),
});

const entrySchema = zod.object({
	id: zod.string(),
	cmd: zod.string(),
	site: zod.string().nullable(),
	score: zod.number().nullable(),
	ok: zod.boolean(),
	head: zod.string(),
	days: zod.array(zod.unknown()),
});

type Entry = Omit<zod.output<typeof entrySchema>, 'days'> & {readonly days: ReadonlyArray<zod.output<typeof daySchema>>};

const REVISION_LENGTH = 7;

function readEntries(): readonly Entry[] {
	const names = files.readdirSync(JOURNAL).filter(name => name.endsWith('.json')).toSorted((left, right) => left.localeCompare(right));
	return names
		.map(name => entrySchema.parse(JSON.parse(files.readFileSync(path.join(JOURNAL, name), 'utf8'))))
		.filter(entry => entry.ok && entry.site !== null && (entry.cmd === 'score' || entry.cmd === 'hunt'))
		.map(entry => ({...entry, days: entry.days.map(day => daySchema.parse(day))}));
}

function formatPart(value: number | null): string {
	return value === null ? '' : value.toFixed(3);
}

function formatScore(entry: Entry): string {
	const rows = entry.days.map(day => {
		const largest = day.prices.toSorted((left, right) => right[2] - left[2]).slice(0, PRICES_SHOWN);
		const binding = largest.map(([name, , worth]) => `${name} ${worth.toFixed(3)}`).join(', ');
		const broken = Object.keys(day.rules);
		const parts = [day.G, day.top, day.served, day.refused, day.failed].map(value => formatPart(value));
		return `| ${[day.name, ...parts, broken.length === 0 ? 'none' : broken.join(', '), binding].join(' | ')} |`;
	});
	const isPassed = entry.days.every(day => day.gate !== false && Object.keys(day.rules).length === 0);
	return [
		`### ${entry.site}, entry ${entry.id}, sources ${entry.head.slice(0, REVISION_LENGTH)}`,
		'',
		`Score ${formatPart(entry.score)}, gate ${isPassed ? 'passed' : 'failed'}.`,
		'',
		'| day | worth | mark | served | refused | failed | rules broken | taken off most |',
		'|---|---|---|---|---|---|---|---|',
		...rows,
		'',
	].join('\n');
}

function formatHunts(entries: readonly Entry[]): string {
	const rows = entries.map(entry => {
		const broken = entry.days.filter(day => Object.keys(day.rules).length > 0);
		const worths = entry.days.map(day => day.G).filter(worth => worth !== null);
		const mean = worths.reduce((sum, worth) => sum + worth, 0) / Math.max(1, worths.length);
		return `| ${entry.site} | ${entry.id} | ${entry.head.slice(0, REVISION_LENGTH)} | ${entry.days.length} | ${broken.length} | ${mean.toFixed(3)} |`;
	});
	return ['| site | entry | sources | days | with a rule broken | mean worth |', '|---|---|---|---|---|---|', ...rows, ''].join('\n');
}

const entries = readEntries();
files.writeFileSync(PAGE, [
	'# Results on the users\' bench',
	'',
	'Made by `npm run results` from the journal. One run each: differences under 0.03 on a site are noise.',
	'',
	'## Standard days',
	'',
	...entries.filter(entry => entry.cmd === 'score').map(entry => formatScore(entry)),
	'## Hunts',
	'',
	formatHunts(entries.filter(entry => entry.cmd === 'hunt')),
].join('\n'));
process.stdout.write(`docs/RESULTS.md: ${entries.length} entries\n`);

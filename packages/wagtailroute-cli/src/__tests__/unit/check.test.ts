/**
Tests of `catalogue check`: exit codes, both formats, and the files that it accepts.
*/
import * as files from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as cliRunner from './cli-runner.ts';

const VALID = 'name: archive\nowner: genealogy\nroutes: [{pathPrefix: /archive, class: read}]\n';
const DOUBTFUL = `${VALID}limits: {timeoutMilliseconds: 500}\n`;
const INVALID = 'name: media\nowner: ""\nroutes: [{pathPrefix: /media, class: maybe}]\n';
const DOUBTFUL_LINE = 'archive: warning timeout-below-objective limits.timeoutMilliseconds: Requests end after 500 ms, before the objective of 1000 ms is missed.';
const LISTING = JSON.stringify({
	entries: [{
		name: 'archive', revision: 7, owner: 'genealogy', entry: {name: 'archive', owner: 'scans', routes: [{pathPrefix: '/archive', class: 'read'}]},
	}],
});

/**
Checks a file with the text `file` against one with the text `against`. A text that is undefined stands for a file that doesn't exist.
*/
async function runCheck(file: string | undefined, against: string | undefined, ...flags: readonly string[]): Promise<cliRunner.CliRun> {
	const folder = await files.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-check-'));
	const filePath = path.join(folder, 'file.yaml');
	const againstPath = path.join(folder, 'against.yaml');
	if (file !== undefined) {
		await files.writeFile(filePath, file);
	}

	if (against !== undefined) {
		await files.writeFile(againstPath, against);
	}

	return cliRunner.runCli(['catalogue', 'check', filePath, ...flags.map(flag => flag === 'AGAINST' ? againstPath : flag)]);
}

type ReportCase = {
	readonly name: string;
	readonly file: string;
	readonly against?: string;
	readonly code: number;
	readonly lines: readonly string[];
	readonly errors?: string;
};

// Guards against a script that takes a refused file for an accepted one: the exit code tells errors, warnings and neither apart.
const REPORT_CASES: readonly ReportCase[] = [
	{
		name: 'a valid entry', file: VALID, code: 0, lines: ['no findings'],
	},
	{
		name: 'a warning',
		file: DOUBTFUL,
		code: 2,
		lines: [DOUBTFUL_LINE],
		errors: 'wagtailroute: catalogue check: errors: 0, warnings: 1\n',
	},
	{
		name: 'errors and a warning, sorted by entry',
		file: `${INVALID}---\n${DOUBTFUL}`,
		code: 1,
		lines: [
			DOUBTFUL_LINE,
			'media: error entry-invalid owner: Too small: expected string to have >=1 characters',
			'media: error entry-invalid routes.0.class: Invalid option: expected one of "read"|"idempotent"|"non-idempotent"',
		],
		errors: 'wagtailroute: catalogue check: errors: 2, warnings: 1\n',
	},
	{
		name: 'an entry without a name',
		file: 'owner: a\nroutes: [{pathPrefix: /a, class: read}]\n',
		code: 1,
		lines: ['#1: error entry-invalid name: Invalid input: expected string, received undefined'],
		errors: 'wagtailroute: catalogue check: errors: 1, warnings: 0\n',
	},
	{
		name: 'differences from a listing',
		file: VALID,
		against: LISTING,
		code: 0,
		lines: ['archive: changed owner: "scans" -> "genealogy"'],
	},
	{
		name: 'differences from shown entries',
		file: `${VALID}limits: {ratePerSecond: 5}\n`,
		against: `# revision 7\n${VALID}---\n${VALID.replaceAll('archive', 'media')}`,
		code: 0,
		lines: ['archive: changed limits.ratePerSecond: not set -> 5', 'media: absent from the file, stays in force'],
	},
	{
		name: 'an entry that is new to an empty catalogue',
		file: VALID,
		against: '{"entries": []}',
		code: 0,
		lines: ['archive: added'],
	},
	{
		name: 'a difference and a warning of one entry',
		file: DOUBTFUL,
		against: VALID,
		code: 2,
		lines: [DOUBTFUL_LINE, 'archive: changed limits.timeoutMilliseconds: 30000 -> 500'],
		errors: 'wagtailroute: catalogue check: errors: 0, warnings: 1\n',
	},
];

for (const {name, file, against, code, lines, errors} of REPORT_CASES) {
	test(`catalogue check: ${name}`, async t => {
		const flags = against === undefined ? [] : ['--against', 'AGAINST'];
		t.deepEqual(await runCheck(file, against, ...flags), {code, output: `${lines.join('\n')}\n`, errors: errors ?? ''});
	});
}

// Guards against programs that read the report and miss a finding because a field got another name.
const JSON_CASES = [
	{
		name: 'no findings', file: VALID, against: undefined, code: 0, report: {findings: [], differences: []},
	},
	{
		name: 'findings and differences',
		file: `${DOUBTFUL}---\n${INVALID}`,
		against: LISTING,
		code: 1,
		report: {
			findings: [
				{
					severity: 'warning',
					code: 'timeout-below-objective',
					entry: 'archive',
					field: 'limits.timeoutMilliseconds',
					message: 'Requests end after 500 ms, before the objective of 1000 ms is missed.',
				},
				{
					severity: 'error', code: 'entry-invalid', entry: 'media', field: 'owner', message: 'Too small: expected string to have >=1 characters',
				},
				{
					severity: 'error', code: 'entry-invalid', entry: 'media', field: 'routes.0.class', message: 'Invalid option: expected one of "read"|"idempotent"|"non-idempotent"',
				},
			],
			differences: [
				{
					change: 'changed', entry: 'archive', field: 'owner', before: 'scans', after: 'genealogy',
				},
				{
					change: 'changed', entry: 'archive', field: 'limits.timeoutMilliseconds', before: 30_000, after: 500,
				},
			],
		},
	},
] as const;

for (const {name, file, against, code, report} of JSON_CASES) {
	test(`catalogue check as JSON: ${name}`, async t => {
		const flags = against === undefined ? [] : ['--against', 'AGAINST'];
		const run = await runCheck(file, against, '--format', 'json', ...flags);
		t.is(run.code, code);
		t.deepEqual(JSON.parse(run.output), report);
	});
}

// Guards against a file that wasn't checked and ends with the exit code of a check without errors (0, or 2 for warnings only).
const BAD_FILE_CASES = [
	{name: 'a file that does not exist', file: undefined, expectedError: /^wagtailroute: FILE: .* accepted: a file that can be read/v},
	{name: 'a file that is not YAML', file: 'name: [', expectedError: /^wagtailroute: FILE: .* accepted: YAML or JSON/v},
	{name: 'an empty file', file: '\n', expectedError: /^wagtailroute: FILE: .* accepted: a file with entries/v},
	{name: 'a value that contains itself', file: '&a [*a]\n', expectedError: /^wagtailroute: FILE: .* can't be sent as JSON/v},
	{
		name: 'a file to compare with that does not exist', file: VALID, flags: ['--against', 'AGAINST'], expectedError: /^wagtailroute: --against: .* can be read/v,
	},
	{
		name: 'an empty file to compare with', file: VALID, against: '', flags: ['--against', 'AGAINST'], expectedError: /^wagtailroute: --against: .* a file with entries/v,
	},
	{
		name: 'an invalid entry to compare with', file: VALID, against: INVALID, flags: ['--against', 'AGAINST'], expectedError: /^wagtailroute: --against: .* not valid: owner: /v,
	},
] as const;

for (const {name, file, expectedError, ...others} of BAD_FILE_CASES) {
	test(`catalogue check: ${name} is a failure with exit code 1`, async t => {
		const against = 'against' in others ? others.against : undefined;
		const flags = 'flags' in others ? others.flags : [];
		const {code, output, errors} = await runCheck(file, against, ...flags);
		t.is(code, 1);
		t.is(output, '');
		t.regex(errors, expectedError);
		t.is(errors.split('\n').length, 2);
	});
}

// Guards against a misspelt flag that is taken for a check: nothing is written to stdout, and stderr names the flag.
for (const flags of [['--format', 'xml'], ['--agianst', 'file']] as const) {
	test(`catalogue check: ${flags.join(' ')} is a bad setting`, async t => {
		const {code, output, errors} = await runCheck(VALID, undefined, ...flags);
		t.is(code, 2);
		t.is(output, '');
		t.regex(errors, new RegExp(`^wagtailroute: ${flags[0]}: `, 'v'));
	});
}

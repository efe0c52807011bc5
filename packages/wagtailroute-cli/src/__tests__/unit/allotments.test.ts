/**
Tests of the report on allotments: what it reads from standard input, and what it prints.
*/
import test from 'ava';
import {runCli} from './cli-runner.ts';

const REFUSAL = '{"message":"allotment: Organisation exceeded its allotment.","organisation":"parish","ratePerSecond":2,"burst":10}';
const REQUEST = '{"message":"request: Request answered.","organisation":"parish","outcome":"ran","status":200,"milliseconds":0,"timestamp":"2026-01-01T00:00:00.000Z"}';
const HEAD = 'organisation\tadmitted\tallotment\tpart\trefused\tsince\n';

const CASES = [
	{name: 'no lines', input: '', output: HEAD},
	{name: 'a refusal without its allotment', input: '{"message":"allotment: Organisation exceeded its allotment.","organisation":"parish"}\n', output: HEAD},
	{name: 'requests and a refusal', input: `${REQUEST}\n${REFUSAL}\n`, output: `${HEAD}parish\t1\t20\t0.05\t0\t2026-01-01T00:00:00.000Z\n`},
] as const;

test('report allotments: as JSON', async t => {
	const {output} = await runCli(['report', 'allotments', '--format', 'json'], {}, `${REQUEST}\n${REFUSAL}\n`);
	t.like(JSON.parse(output), [{organisation: 'parish', admitted: 1, allotment: 20}]);
});

for (const {name, input, output} of CASES) {
	test(`report allotments: ${name}`, async t => {
		t.deepEqual(await runCli(['report', 'allotments'], {}, input), {code: 0, output, errors: ''});
	});
}

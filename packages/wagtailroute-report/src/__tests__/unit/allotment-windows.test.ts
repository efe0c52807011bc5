/**
Tests of the worst windows of organisations, from log lines.
*/
import test from 'ava';
import {createAllotmentWindows, formatAllotmentWindows} from '../../allotment-windows.ts';

const START = Date.parse('2026-01-01T00:00:00.000Z');

function createRequestLine(at: number, changes: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({
		message: 'request: Request answered.', organisation: 'parish', outcome: 'ran', status: 200, milliseconds: 100, timestamp: new Date(START + at).toISOString(), ...changes,
	});
}

const REFUSAL = JSON.stringify({
	message: 'allotment: Organisation exceeded its allotment.', organisation: 'parish', ratePerSecond: 2, burst: 10, timestamp: new Date(START).toISOString(),
});

const CASES = [
	{
		name: 'requests are counted when they were sent', lines: [createRequestLine(5050), createRequestLine(200)], admitted: 2, refused: 0,
	},
	{
		name: 'only those of one window count', lines: [createRequestLine(5150, {milliseconds: 0}), createRequestLine(200)], admitted: 1, refused: 0,
	},
	{
		name: 'requests that may have run count', lines: [createRequestLine(0, {outcome: 'unknown', message: 'request: Request failed.'})], admitted: 1, refused: 0,
	},
	{
		name: 'refusals are counted apart', lines: [createRequestLine(0), createRequestLine(0, {outcome: 'not-run', status: 429})], admitted: 1, refused: 1,
	},
	{
		name: 'other failures are not refusals', lines: [createRequestLine(0, {outcome: 'not-run', status: 503})], admitted: 0, refused: 0,
	},
	{
		name: 'lines with a prefix and lines that are none', lines: [`  1.2 front-1 ${createRequestLine(0)}`, 'run: ready', '{cut'], admitted: 1, refused: 0,
	},
	{
		name: 'requests of others', lines: [createRequestLine(0, {organisation: 'other'}), createRequestLine(0, {organisation: undefined})], admitted: 0, refused: 0,
	},
] as const;

for (const {name, lines, admitted, refused} of CASES) {
	test(`the worst window of an organisation: ${name}`, t => {
		const windows = createAllotmentWindows(5000);
		for (const line of [...lines, REFUSAL]) {
			windows.addLine(line);
		}

		t.like(windows.list(), [{
			organisation: 'parish', admitted, refused, allotment: 20,
		}]);
		t.is(windows.list().length, 1);
	});
}

test('the windows are formatted as a table', t => {
	const text = formatAllotmentWindows([{
		organisation: 'parish', admitted: 15, allotment: 20, refused: 3, since: START,
	}]);
	t.is(text, 'organisation\tadmitted\tallotment\tpart\trefused\tsince\nparish\t15\t20\t0.75\t3\t2026-01-01T00:00:00.000Z');
});

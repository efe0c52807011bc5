/**
Tests of what the result of an attempt tells of a request that may crash backend servers.
*/
import test from 'ava';
import type {AttemptResult} from '../../attempts.ts';
import {getTrialEnding} from '../../endings.ts';

const CASES: ReadonlyArray<{readonly name: string; readonly result: AttemptResult; readonly ending: ReturnType<typeof getTrialEnding>}> = [
	{name: 'an answer that is relayed', result: {kind: 'relayed', status: 200}, ending: 'completed'},
	{name: 'an error that is not relayed', result: {kind: 'discarded', status: 500, isShed: false}, ending: 'completed'},
	{name: 'a request that was not sent', result: {kind: 'not-sent', code: 'ECONNREFUSED'}, ending: 'not-sent'},
	{name: 'a connection that is lost', result: {kind: 'lost', code: 'ECONNRESET'}, ending: 'lost'},
	{name: 'an answer that is cut off', result: {kind: 'truncated', status: 200, code: 'ECONNRESET'}, ending: 'lost'},
	// Guards against a crashing request that is cleared because an overloaded backend server has refused to run it.
	{name: 'a request that was shed', result: {kind: 'discarded', status: 503, isShed: true}, ending: 'not-sent'},
	{
		name: 'a request that reached another instance', result: {
			kind: 'discarded', status: 421, isShed: true, isMisdirected: true,
		}, ending: 'not-sent',
	},
];

for (const {name, result, ending} of CASES) {
	test(`${name} ends a trial as ${ending}`, t => {
		t.is(getTrialEnding(result), ending);
	});
}

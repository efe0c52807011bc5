/**
Tests of the response sizes that attempts report, from which dispatchers learn which requests should not cross failure domains.
*/
import test from 'ava';
import * as undici from 'undici';
import type * as standin from 'wagtailroute-standin';
import {openFixture} from './fixture.ts';

const CASES: ReadonlyArray<{
	readonly name: string;
	readonly fault: readonly standin.BehaviourRequest[];
	readonly method?: 'GET' | 'HEAD';
	readonly isReported: boolean;
}> = [
	{name: 'a whole response', fault: [], isReported: true},
	{name: 'a response that was cut off, with the length that it stated', fault: [{kind: 'truncate', framing: 'length'}], isReported: true},
	{name: 'a response of unknown length that was cut off', fault: [{kind: 'truncate', framing: 'chunked'}], isReported: false},
	{name: 'an error response', fault: [{kind: 'fail', status: 500}], isReported: false},
	// It states the length that the response to a GET request would have.
	{
		name: 'a response to a HEAD request', fault: [], method: 'HEAD', isReported: false,
	},
];

for (const {name, fault, method = 'GET', isReported} of CASES) {
	test(`the size of ${name} is ${isReported ? '' : 'not '}reported`, async t => {
		// Guards against routes whose large responses count as small because those that are cut off, or are of unknown length, say nothing.
		const fixture = await openFixture(t, {faults: [fault]});
		const dispatcher = new undici.Agent({keepAliveTimeout: 1});
		const {headers, body} = await undici.request(`${fixture.origin}/x`, {method, dispatcher});
		await t.notThrowsAsync(body.arrayBuffer().catch(() => undefined));
		await dispatcher.close();
		const [report] = fixture.attemptReports;
		t.deepEqual(report?.responseSize, isReported ? {bytes: Number(headers['content-length']), isStated: true} : undefined);
		t.not(report, undefined);
	});
}

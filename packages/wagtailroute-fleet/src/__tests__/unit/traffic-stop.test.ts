/**
Tests of the stop of an entry host's traffic.
*/
import * as stream from 'node:stream';
import test from 'ava';
import type * as proxy from 'wagtailroute-proxy';
import * as telemetry from 'wagtailroute-telemetry';
import {divideStopTime} from '../../stop-times.ts';
import {stopTraffic} from '../../traffic-stop.ts';
import * as fixture from './fixture.ts';

const STOP_MILLISECONDS = 6000;
const {acceptingMilliseconds, drainingMilliseconds} = divideStopTime(STOP_MILLISECONDS);

const REQUEST: proxy.RequestInProgress = {
	requestId: 'r-1', service: 'archive', requestClass: 'read', waitsFor: 'upstream', attempts: 1, upstream: 'i-1', milliseconds: 3000.4, sentMilliseconds: 2999.6,
};

function createContext(): {readonly context: fixture.FakeContext; readonly lines: Array<Readonly<Record<string, unknown>>>} {
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const output = new stream.Writable({
		write(chunk, _encoding, done) {
			lines.push(JSON.parse(String(chunk)) as Readonly<Record<string, unknown>>);
			done();
		},
	});
	const context = fixture.createFakeContext();
	const logs = telemetry.createLogs({
		output, level: 'info', now: context.now, fields: {},
	});
	return {context: {...context, logs}, lines};
}

test('the requests that a stop does not finish are logged with what each waits for', async t => {
	const {context, lines} = createContext();
	void stopTraffic(context, {drain: async () => Promise.withResolvers<never>().promise, listInProgress: () => [REQUEST]}, STOP_MILLISECONDS);
	await context.pass(acceptingMilliseconds + drainingMilliseconds - 1);
	t.deepEqual(lines, []);
	await context.pass(STOP_MILLISECONDS);
	t.is(lines.length, 1);
	t.like(lines[0], {
		level: 'warn', request: 'r-1', service: 'archive', class: 'read', waitsFor: 'upstream', attempts: 1, upstream: 'i-1', milliseconds: 3000, sentMilliseconds: 3000,
	});
});

/**
What carriers tell each other of their upstreams, from one host's mail to another's.
*/
import test from 'ava';
import type * as core from 'wagtailroute-core';
import type * as detection from 'wagtailroute-detection';
import type {HostContext} from '../../context.ts';
import {type SummaryExchange, startSummaryExchange} from '../../summary-exchange.ts';
import {createFakeRecords} from './fake-records.ts';

const HOSTS = ['h0', 'h1', 'h2'];
const UPSTREAMS: Readonly<Record<core.ServiceName, readonly string[]>> = {s: ['u1', 'u2'], t: ['u1', 'v1']};
const CARRIERS = new Map([['s', HOSTS], ['t', ['h0', 'h1']]]);

type ReceivedSummary = {readonly to: core.HostId; readonly service: core.ServiceName; readonly summary: detection.Summary};

function startExchanges() {
	const fakeRecords = createFakeRecords();
	const received: ReceivedSummary[] = [];
	const methods = new Map<number, (message: unknown) => void>();
	let messageCount = 0;
	const exchanges = HOSTS.map((hostId, index): SummaryExchange => {
		const context = fakeRecords.createContext(hostId);
		context.store.update(state => ({...state, carriers: CARRIERS}));
		const initialControl = HOSTS.map((id, port) => ({id, address: {ip: '127.0.0.1', port}}));
		const settings: HostContext['settings'] = {...context.settings, failureDomain: `d${index}`, initialControl};
		const peer = {
			registerMethod(_name: string, method: (message: unknown) => void) {
				methods.set(index, method);
				return () => undefined;
			},
			notify({port}: core.Address, _name: string, message: unknown) {
				messageCount++;
				methods.get(port)!(structuredClone(message));
			},
		} as unknown as HostContext['peer'];
		const announcing = {
			getUpstreams: (service: core.ServiceName) => UPSTREAMS[service]!.map(id => ({id})) as never,
		};
		return startSummaryExchange({...context, settings, peer}, announcing as never, {
			epoch: index + 7,
			onSummary(service, summary) {
				received.push({to: hostId, service, summary});
			},
		});
	});
	return {exchanges, received, getMessageCount: () => messageCount};
}

function createSummary(sequence: number, upstreams: readonly string[]): detection.Summary {
	return {
		host: 'h0', failureDomain: 'd0', epoch: 7, sequence, upstreams: upstreams.map(id => ({
			id, successes: 2, failures: {reset: 1}, sheds: 0, latencies: [20, 2],
		})),
	};
}

test('a summary reaches the other carriers of its service whole, all services in one message', t => {
	const {exchanges, received, getMessageCount} = startExchanges();
	const s = createSummary(1, ['u1', 'u2']);
	const other = createSummary(4, ['v1']);
	exchanges[0]!.queue('s', s);
	exchanges[0]!.queue('t', other);
	t.deepEqual(received, []);
	exchanges[0]!.flush();
	t.deepEqual(received, [
		{to: 'h1', service: 's', summary: s},
		{to: 'h1', service: 't', summary: other},
		{to: 'h2', service: 's', summary: s},
	]);
	t.is(getMessageCount(), 2);
	exchanges[0]!.flush();
	t.is(getMessageCount(), 2);
});

test('evidence about an upstream that the reader does not know counts for none', t => {
	// Symptom: failures of one upstream are held against another one.
	// Sequence: an upstream is announced to one host before the other hears of it, and fails there.
	// Cause: names that are received by their hash.
	const {exchanges, received} = startExchanges();
	exchanges[0]!.queue('s', createSummary(1, ['unknown', 'u2']));
	exchanges[0]!.flush();
	t.deepEqual(received.map(({summary}) => summary.upstreams.map(({id}) => id)), [['u2'], ['u2']]);
});

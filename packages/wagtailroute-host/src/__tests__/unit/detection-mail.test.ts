/**
What carriers tell each other of their upstreams, from one host's mail to another's.
*/
import test from 'ava';
import type * as core from 'wagtailroute-core';
import type * as detection from 'wagtailroute-detection';
import type {HostContext} from '../../context.ts';
import {type DetectionMail, startDetectionMail} from '../../detection-mail.ts';
import {createFakeCell} from './fake-cell.ts';

const HOSTS = ['h0', 'h1', 'h2'];
const UPSTREAMS: Readonly<Record<core.ServiceName, readonly string[]>> = {s: ['u1', 'u2'], t: ['u1', 'v1']};
const CARRIERS = new Map([['s', HOSTS], ['t', ['h0', 'h1']]]);

type Told = {readonly to: core.HostId; readonly service: core.ServiceName; readonly summary: detection.Summary};

function startMails() {
	const cell = createFakeCell();
	const told: Told[] = [];
	const methods = new Map<number, (letter: unknown) => void>();
	let letters = 0;
	const mails = HOSTS.map((hostId, index): DetectionMail => {
		const context = cell.createContext(hostId);
		context.store.update(state => ({...state, carriers: CARRIERS}));
		const initialControl = HOSTS.map((id, port) => ({id, address: {ip: '127.0.0.1', port}}));
		const settings: HostContext['settings'] = {...context.settings, failureDomain: `d${index}`, initialControl};
		const peer = {
			registerMethod(_name: string, method: (letter: unknown) => void) {
				methods.set(index, method);
				return () => undefined;
			},
			notify({port}: core.Address, _name: string, letter: unknown) {
				letters++;
				methods.get(port)!(structuredClone(letter));
			},
		} as unknown as HostContext['peer'];
		const announcing = {
			getUpstreams: (service: core.ServiceName) => UPSTREAMS[service]!.map(id => ({id})) as never,
		};
		return startDetectionMail({...context, settings, peer}, announcing as never, {
			epoch: index + 7,
			onSummary(service, summary) {
				told.push({to: hostId, service, summary});
			},
		});
	});
	return {mails, told, getLetters: () => letters};
}

function createSummary(sequence: number, upstreams: readonly string[]): detection.Summary {
	return {
		host: 'h0', failureDomain: 'd0', epoch: 7, sequence, upstreams: upstreams.map(id => ({
			id, successes: 2, failures: {reset: 1}, sheds: 0, latencies: [20, 2],
		})),
	};
}

test('a summary reaches the other carriers of its service whole, all services in one letter', t => {
	const {mails, told, getLetters} = startMails();
	const s = createSummary(1, ['u1', 'u2']);
	const other = createSummary(4, ['v1']);
	mails[0]!.add('s', s);
	mails[0]!.add('t', other);
	t.deepEqual(told, []);
	mails[0]!.flush();
	t.deepEqual(told, [
		{to: 'h1', service: 's', summary: s},
		{to: 'h1', service: 't', summary: other},
		{to: 'h2', service: 's', summary: s},
	]);
	t.is(getLetters(), 2);
	mails[0]!.flush();
	t.is(getLetters(), 2);
});

test('evidence about an upstream that the reader does not know counts for none', t => {
	// Symptom: failures of one upstream are held against another one.
	// Sequence: an upstream is announced to one host before the other hears of it, and fails there.
	// Cause: names that are told by their hash.
	const {mails, told} = startMails();
	mails[0]!.add('s', createSummary(1, ['unknown', 'u2']));
	mails[0]!.flush();
	t.deepEqual(told.map(({summary}) => summary.upstreams.map(({id}) => id)), [['u2'], ['u2']]);
});

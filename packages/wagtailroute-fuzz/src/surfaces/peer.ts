/**
The surface between hosts: calls and datagrams from a holder of the fleet's secret, and from others.
*/
import {Buffer} from 'node:buffer';
import type * as utils from 'wagtailroute-utils';
import {SECRET} from '../constants.ts';
import {postBody, sendDatagram, sendPlainDatagram} from '../fleet-client.ts';
import {
	breakJson,
	mutateBytes,
	mutateJson,
	mutateText,
	pick,
} from '../mutations.ts';
import {ALL_PACES, sendRaw} from '../raw.ts';
import type {Input, Surface} from '../surface.ts';
import type {Place} from '../target.ts';
import {DATAGRAMS, MESSAGES} from './messages.ts';

const METHOD_NAMES = MESSAGES.keys().toArray();

const ODD_BODIES = [
	'null',
	'0',
	'""',
	'[]',
	'[null]',
	'[[]]',
	'{}',
	'{"jsonrpc":"2.0"}',
	'[0,{"jsonrpc":"2.0"}]',
	'{"jsonrpc":"2.0","id":1,"method":null}',
	'',
	'{"jsonrpc":"2.0","id":{},"method":"catalogue.in-force"}',
	'{"jsonrpc":"2.0","id":1,"method":"__proto__"}',
	'['.repeat(20_000),
	'true',
	'{"jsonrpc":"2.0","id":1,"method":"constructor","params":[]}',
];

const SHARE_OF_BATCHES = 0.1;

function createCall(random: utils.Random, number: number): {readonly call: unknown; readonly isBroken: boolean} {
	const method = pick(random, METHOD_NAMES);
	const valid = pick(random, MESSAGES.get(method)!);
	const isBroken = random() < 0.7;
	const parameters = isBroken ? breakJson(random, valid) : mutateJson(random, valid);
	const isNotification = random() < 0.3;
	return {
		call: {
			jsonrpc: '2.0', method, params: parameters, ...!isNotification && {id: number},
		}, isBroken,
	};
}

function createCallInput(random: utils.Random, place: Place, number: number): Input {
	const {call} = createCall(random, number);
	const isBatch = random() < SHARE_OF_BATCHES;
	const whole = JSON.stringify(isBatch ? [call, createCall(random, number).call] : call);
	const odd = random() < 0.1 ? pick(random, ODD_BODIES) : whole;
	const body = random() < 0.15 ? mutateText(random, odd) : odd;
	return {
		text: `call ${body.slice(0, 4000)}`,
		async run() {
			const {status, text} = await postBody(place.peer, {secret: SECRET, body, path: random() < 0.02 ? '/' : '/rpc'});
			// A method that waits for a quorum may take its time; anything else answers.
			return status === 0 && !text.includes('Timeout') ? {faults: [`no answer: ${text}`]} : {};
		},
	};
}

function createDatagramInput(random: utils.Random, place: Place): Input {
	const message = pick(random, DATAGRAMS);
	const changed = random() < 0.7 ? breakJson(random, message) : mutateJson(random, message);
	const notification = {jsonrpc: '2.0', method: random() < 0.95 ? 'membership' : 'x', params: changed};
	const whole = Buffer.from(JSON.stringify(random() < 0.05 ? changed ?? null : notification));
	const payload = (random() < 0.2 ? mutateBytes(random, whole) : whole).subarray(0, 8000);
	const isTagged = random() < 0.8;
	return {
		text: `datagram ${isTagged ? 'tagged' : 'not tagged'} ${payload.toString('latin1').slice(0, 4000)}`,
		async run() {
			await (isTagged ? sendDatagram(place.peer, SECRET, payload) : sendPlainDatagram(place.peer, payload));
			return {};
		},
	};
}

const HELLO = Buffer.from('16030100c8010000c40303000000000000000000000000000000000000000000000000000000000000000000000402', 'hex');

function createStrangerInput(random: utils.Random, place: Place): Input {
	const bytes = mutateBytes(random, random() < 0.5 ? HELLO : Buffer.from('POST /rpc HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}'));
	const pace = pick(random, ALL_PACES);
	return random() < 0.5
		? {
			text: `stranger ${pace} ${bytes.toString('hex')}`,
			async run() {
				await sendRaw(place.peer, bytes, pace);
				return {};
			},
		}
		: {
			text: 'call with a wrong secret',
			async run() {
				const {status} = await postBody(place.peer, {secret: 'wrong', body: '{"jsonrpc":"2.0","id":1,"method":"catalogue.in-force","params":{}}'});
				return status === 0 ? {} : {faults: [`a wrong secret was answered ${status}`]};
			},
		};
}

/**
The surface.
*/
export const PEER_SURFACE: Surface = {
	name: 'peer',
	needsTarget: true,
	createInput(random, place, number) {
		const share = random();
		if (share < 0.6) {
			return createCallInput(random, place, number);
		}

		return share < 0.95 ? createDatagramInput(random, place) : createStrangerInput(random, place);
	},
};

/**
One host's end of the calls between hosts.
*/
import type * as core from 'wagtailroute-core';
import type * as results from 'ts-results-es';
import type * as utils from 'wagtailroute-utils';
import {type Channel, openChannel} from './channel.ts';
import {type DatagramHandler, openDatagramSocket} from './datagrams.ts';
import type {PeerFailure} from './failures.ts';
import {deriveKeys} from './secret.ts';
import {type Caller, openRpcServer} from './server.ts';

/**
Answers one method. The value must be JSON.
*/
export type Method = (parameters: never, caller: Caller) => unknown;

/**
One host's end.
*/
export type Peer = {
	/**
	Calls a method and waits for its answer, at most `timeoutMilliseconds`.
	*/
	readonly call: (to: core.Address, method: string, parameters: unknown, timeoutMilliseconds: number) => Promise<results.Result<unknown, PeerFailure>>;
	/**
	Sends without an answer, in order for each address; dropped when too many wait.
	*/
	readonly notify: (to: core.Address, method: string, parameters: unknown) => void;
	/**
	Sends one datagram that may be lost; false when it is too large.
	*/
	readonly sendDatagram: (to: core.Address, method: string, parameters: unknown) => boolean;
	readonly registerMethod: (name: string, method: Method) => utils.Teardown;
	readonly registerDatagramHandler: (handler: DatagramHandler) => utils.Teardown;
	readonly close: () => Promise<void>;
};

/**
Settings of an end.
*/
export type PeerSettings = {
	readonly self: core.HostId;
	readonly address: core.Address;
	readonly secret: string;
	/**
	Told when a connection was refused because its key is another one: a host of another fleet, or a wrong secret.
	*/
	readonly onHandshakeRefused?: () => void;
	/**
	A fake network for tests: true drops whatever this host sends to the address.
	*/
	readonly isCut?: (to: core.Address) => boolean;
};

/**
Opens this host's end: a TCP server for calls and a UDP socket for datagrams, both on the same address.
*/
export async function openPeer(settings: PeerSettings): Promise<Peer> {
	const keys = deriveKeys(settings.secret);
	const isCut = settings.isCut ?? (() => false);
	const channels = new Map<string, Channel>();
	const handlers = new Set<DatagramHandler>();
	const server = await openRpcServer(settings.address, keys, settings.onHandshakeRefused);
	const socket = await openDatagramSocket(settings.address, keys, (method, parameters) => {
		for (const handler of handlers) {
			handler(method, parameters);
		}
	});

	function getChannel(address: core.Address): Channel {
		const key = `${address.ip} ${address.port}`;
		const channel = channels.get(key)
			?? openChannel({address, self: settings.self, isCut: () => isCut(address)}, keys);
		channels.set(key, channel);
		return channel;
	}

	return {
		call: async (to, method, parameters, timeoutMilliseconds) => getChannel(to).call(method, parameters, timeoutMilliseconds),
		notify(to, method, parameters) {
			getChannel(to).notify(method, parameters);
		},
		sendDatagram: (to, method, parameters) => isCut(to) || socket.send(to, method, parameters),
		registerMethod(name, method) {
			server.methods.addMethod(name, method as Parameters<typeof server.methods.addMethod>[1]);
			return () => {
				server.methods.removeMethod(name);
			};
		},
		registerDatagramHandler(handler) {
			handlers.add(handler);
			return () => {
				handlers.delete(handler);
			};
		},
		async close() {
			await Promise.all([
				server.close(),
				socket.close(),
				...channels.values().map(async channel => channel.close()),
			]);
		},
	};
}

/**
Takes the links that other hosts open.
*/
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {SERVER_PING_INTERVAL_MILLISECONDS} from './constants.ts';
import {
	type Link,
	type LinkMethods,
	type MessageOrder,
	runLink,
} from './link.ts';

/**
What the server needs.
*/
export type LinkServerOptions = {
	readonly address: core.Address;
	readonly methods: LinkMethods;
	readonly order?: MessageOrder;
	readonly now: () => number;
	readonly onClose: (link: Link) => void;
	readonly onDefect: (error: Error) => void;
};

/**
A server of links.
*/
export type LinkServer = {
	readonly address: core.Address;
	readonly close: () => Promise<void>;
};

/**
Opens the server.
*/
export async function openLinkServer(options: LinkServerOptions): Promise<LinkServer> {
	const links = new Set<Link>();
	const server = net.createServer(socket => {
		const link = runLink({
			...options,
			getPingIntervalMilliseconds: () => SERVER_PING_INTERVAL_MILLISECONDS,
			socket,
			onClose(closed) {
				links.delete(closed);
				options.onClose(closed);
			},
		});
		links.add(link);
	});
	const address = await utils.listen(server, options.address);
	return {
		address,
		async close() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			for (const link of links) {
				link.close();
			}

			await closed;
		},
	};
}

/**
Takes the links that other hosts open.
*/
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {ANSWERING_PING_MILLISECONDS} from './constants.ts';
import {
	type Link,
	type LinkMethods,
	type MessageOrder,
	runLink,
} from './link.ts';

/**
What the server needs.
*/
export type LinkServerPlan = {
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
export async function openLinkServer(plan: LinkServerPlan): Promise<LinkServer> {
	const links = new Set<Link>();
	const server = net.createServer(socket => {
		const link = runLink({
			...plan,
			pingMilliseconds: () => ANSWERING_PING_MILLISECONDS,
			socket,
			onClose(closed) {
				links.delete(closed);
				plan.onClose(closed);
			},
		});
		links.add(link);
	});
	const address = await utils.listen(server, plan.address);
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

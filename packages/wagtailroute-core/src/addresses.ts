/**
Checks of addresses that other programs state.

An address that no connection can be opened to is found out late otherwise: where a client for it is created, in the midst of another caller's request.
*/
import * as net from 'node:net';
import type {Address} from './names.ts';

const MAX_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/v;

/**
Networks whose addresses name no single host: unspecified, multicast, reserved and broadcast (RFC 6890).
*/
const UNCONNECTABLE_NETWORKS = [
	['0.0.0.0', 8, 'ipv4'],
	['224.0.0.0', 4, 'ipv4'],
	['240.0.0.0', 4, 'ipv4'],
	['::', 128, 'ipv6'],
	['ff00::', 8, 'ipv6'],
] as const;

const UNCONNECTABLE = createBlockList();

function createBlockList(): net.BlockList {
	const list = new net.BlockList();
	for (const [network, prefix, family] of UNCONNECTABLE_NETWORKS) {
		list.addSubnet(network, prefix, family);
	}

	return list;
}

/**
Returns whether a TCP connection can be opened to an address: an IP number of one host, without a zone, and a port from 1 to 65,535.
*/
export function isConnectable({ip, port}: Address): boolean {
	const version = ip.includes('%') ? 0 : net.isIP(ip);
	return version > 0
		&& Number.isSafeInteger(port) && port >= 1 && port <= MAX_PORT
		&& !UNCONNECTABLE.check(ip, version === 4 ? 'ipv4' : 'ipv6');
}

/**
Parses `ip:port` with an IPv4 number in its usual form. Returns undefined for a text that is none, or to which no connection can be opened.
*/
export function parseConnectableAddress(text: string): Address | undefined {
	const [ip = '', port = '', ...further] = text.split(':');
	const address = {ip, port: PORT_PATTERN.test(port) ? Number(port) : 0};
	return further.length === 0 && net.isIPv4(ip) && isConnectable(address) ? address : undefined;
}

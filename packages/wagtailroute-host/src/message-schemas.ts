/**
Shapes that the messages between hosts share.

They check types, not truth: hosts trust each other, and a newer host may send members that this one doesn't know.
*/
import * as net from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

/**
Far above any count that is reached, and far below where adding one no longer changes a number.
*/
const MAX_COUNT = 2 ** 48;

/**
Names of hosts, services and upstreams. Longer than any that is accepted elsewhere.
*/
export const name = z.string().max(1024);

/**
Any text within the size of a message.
*/
export const text = z.string();

/**
A whole number from 0: revisions, terms, indexes, versions.
*/
export const count = z.int().min(0).max(MAX_COUNT);

/**
Any finite number.
*/
export const amount = z.number();

/**
An address as an object. Anything that is no number of an IP would be looked up by name, and a port out of range throws where
it is used.
*/
export const address = z.object({
	ip: z.string().refine(ip => net.isIP(ip) > 0),
	port: z.int().min(0).max(MAX_PORT),
});

const ADDRESS_PATTERN = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v;

/**
An address as `ip:port`, brackets around an IPv6 number.
*/
export const addressText = z.string().refine(given => {
	const groups = ADDRESS_PATTERN.exec(given)?.groups;
	return groups !== undefined && net.isIP(groups.v6 ?? groups.v4 ?? '') > 0 && Number(groups.port) <= MAX_PORT;
});

/**
Versions by service.
*/
export const versions = z.record(name, count);

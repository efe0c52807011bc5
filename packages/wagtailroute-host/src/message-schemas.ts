/**
Schemas of values that occur in many messages between hosts.

They check types, not plausibility: hosts trust each other, and a newer host may send properties that this one doesn't know.
*/
import * as net from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

/**
Far above any count that occurs, and far below the limit of exact integers.
*/
const MAX_COUNT = 2 ** 48;

/**
Name of a host, service or upstream. The bound is above what is accepted elsewhere.
*/
export const name = z.string().max(1024);

/**
Any text; the size of a message bounds it.
*/
export const text = z.string();

/**
An integer from 0: revisions, terms, indexes, versions.
*/
export const count = z.int().min(0).max(MAX_COUNT);

/**
Any finite number.
*/
export const amount = z.number();

/**
An address as an object. Anything but an IP would be resolved by DNS, and a port out of range would throw where it is used.
*/
export const address = z.object({
	ip: z.string().refine(ip => net.isIP(ip) > 0),
	port: z.int().min(0).max(MAX_PORT),
});

const ADDRESS_PATTERN = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v;

/**
An address as `ip:port`, with brackets around an IPv6 address.
*/
export const addressText = z.string().refine(given => {
	const groups = ADDRESS_PATTERN.exec(given)?.groups;
	return groups !== undefined && net.isIP(groups.v6 ?? groups.v4 ?? '') > 0 && Number(groups.port) <= MAX_PORT;
});

/**
Versions by service.
*/
export const versions = z.record(name, count);

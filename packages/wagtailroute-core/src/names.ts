/**
Names that all parts share. The words for machines, zones, customers and back ends are those of the brief.
*/

/**
Name of a host of the fleet, unique over the fleet and over time: a host that lost its state comes back under the same
name with a new incarnation.
*/
export type HostId = string;

/**
Name of a failure domain: hosts in one may fail together.
*/
export type FailureDomain = string;

/**
Name of a region: a set of failure domains.
*/
export type Region = string;

/**
Name of a service: the key of its catalogue entry.
*/
export type ServiceName = string;

/**
Name of an upstream (one backend server process of a service), unique within the service.
*/
export type UpstreamId = string;

/**
Name of the organisation that a caller belongs to.
*/
export type Organisation = string;

/**
A TCP or UDP address by IP number.
*/
export type Address = {
	readonly ip: string;
	readonly port: number;
};

/**
Writes an address as `ip:port`, with brackets around an IPv6 number.
*/
export function formatAddress(address: Address): string {
	return address.ip.includes(':') ? `[${address.ip}]:${address.port}` : `${address.ip}:${address.port}`;
}

/**
Settings of entry hosts and control hosts.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type {OverloadControlMode} from './overload-control.ts';

/**
A control host as others know it.
*/
export type ControlHost = {
	readonly id: core.HostId;
	/**
	Address at which it accepts links.
	*/
	readonly address: core.Address;
	/**
	Absent for a seed that has not answered yet.
	*/
	readonly failureDomain?: core.FailureDomain;
};

/**
An entry host that dispatches while no control host does.
*/
export type StandbyHost = Required<ControlHost>;

/**
Settings of every host.
*/
export type FleetSettings = {
	readonly hostId: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	Control hosts that a host contacts first. All hosts must have the same list at the first start of a fleet.
	*/
	readonly seeds: readonly ControlHost[];
	readonly budget: dispatch.BudgetSettings;
	/**
	Part of a service's upstreams, 0 to 1, that stay in use however often they fail.
	*/
	readonly floor: number;
	/**
	How organisations' use of their allotments is limited.
	*/
	readonly allotments: {
		/**
		Requests that are admitted in a window beyond an allotment.
		*/
		readonly slack: number;
		readonly windowMilliseconds: number;
	};
	/**
	Policy of the dispatcher; the default policy when absent.
	*/
	readonly policy?: dispatch.Policy;
	/**
	Absent: `off`.
	*/
	readonly overloadControl?: OverloadControlMode;
};

/**
Settings of an entry host.
*/
export type EntrySettings = FleetSettings & {
	readonly trafficAddress: core.Address;
	/**
	Address at which it accepts links of other hosts, for which it may dispatch.
	*/
	readonly linkAddress: core.Address;
	/**
	Address at which it accepts requests that other entry hosts forward; absent: it accepts none.
	*/
	readonly forwardingAddress?: core.Address;
	/**
	Capacity of the host's link in each direction.
	*/
	readonly linkBytesPerSecond: number;
	/**
	Milliseconds from the signal to stop until the process must have ended.
	*/
	readonly stopMilliseconds: number;
};

/**
Settings of a control host.
*/
export type ControlSettings = FleetSettings & {
	readonly linkAddress: core.Address;
	readonly dataFolder: string;
	/**
	Whether the whole fleet starts for the first time, with empty disks.
	*/
	readonly isFirstStart: boolean;
};

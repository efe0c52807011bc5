/**
Max-min fair division.
*/

/**
Divides an amount so that nobody gets more than it demands, and nobody can get more without someone with less losing.
Returns the shares in the order of the demands.
*/
export function divideMaxMin(amount: number, demands: readonly number[]): number[] {
	const shares = demands.map(() => 0);
	const order = demands.map((_demand, index) => index).toSorted((left, right) => demands[left]! - demands[right]!);
	let left = amount;
	for (const [position, index] of order.entries()) {
		const equal = left / (order.length - position);
		const share = Math.max(0, Math.min(demands[index]!, equal));
		shares[index] = share;
		left -= share;
	}

	return shares;
}

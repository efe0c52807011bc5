/**
Max-min fair division of an amount.
*/

/**
Divides an amount by max-min fairness: no share exceeds its demand, and no share can grow unless a smaller or equal one
shrinks. Returns the shares in the order of the demands.
*/
export function divideMaxMin(amount: number, demands: readonly number[]): number[] {
	const shares = demands.map(() => 0);
	const order = demands.map((_demand, index) => index).toSorted((left, right) => demands[left]! - demands[right]!);
	let remaining = amount;
	for (const [position, index] of order.entries()) {
		const equalShare = remaining / (order.length - position);
		const share = Math.max(0, Math.min(demands[index]!, equalShare));
		shares[index] = share;
		remaining -= share;
	}

	return shares;
}

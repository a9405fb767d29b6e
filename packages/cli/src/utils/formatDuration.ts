/** Units in which durations are shown, with their milliseconds, largest first. */
const UNITS: Array<[string, number]> = [['d', 86_400_000], ['h', 3_600_000], ['min', 60_000], ['s', 1000]]

/**
 * @param milliseconds - a duration
 * @returns the duration in its largest unit and the next smaller one, such as `2 h 5 min`
 */
export function formatDuration (milliseconds: number): string {
  const first = UNITS.findIndex(([, size]) => milliseconds >= size)
  if (first === -1) return `${Math.round(milliseconds)} ms`
  const [unit, size] = UNITS[first]!
  const whole = `${Math.floor(milliseconds / size)} ${unit}`
  const next = UNITS[first + 1]
  const rest = next === undefined ? 0 : Math.floor((milliseconds % size) / next[1])
  return rest === 0 ? whole : `${whole} ${rest} ${next![0]}`
}

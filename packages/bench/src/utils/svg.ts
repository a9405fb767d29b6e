/** One line of a plot. */
export interface Series {
  name: string
  points: Array<[number, number]>
}

const WIDTH = 640
const HEIGHT = 320
const MARGIN = 60
const COLOURS = ['#888888', '#b58900', '#cb4b16', '#6c71c4', '#2aa198', '#d33682', '#268bd2', '#000000']

/**
 * Plots lines with a logarithmic vertical axis.
 *
 * @param options - title, labels of the axes, and lines
 * @returns an SVG element
 */
export function plotLines (options: { title: string, x: string, y: string, series: Series[] }): string {
  const points = options.series.flatMap(series => series.points)
  const xs = points.map(([x]) => x)
  const ys = points.map(([, y]) => Math.max(0.1, y))
  const left = Math.min(...xs)
  const right = Math.max(...xs)
  const low = Math.floor(Math.log10(Math.min(...ys)))
  const high = Math.ceil(Math.log10(Math.max(...ys)))
  const toX = (x: number): number => MARGIN + (x - left) / (right - left || 1) * (WIDTH - 2 * MARGIN)
  const toY = (y: number): number => HEIGHT - MARGIN - (Math.log10(Math.max(0.1, y)) - low) / (high - low || 1) * (HEIGHT - 2 * MARGIN)
  const parts = [`<svg viewBox="0 0 ${WIDTH + 160} ${HEIGHT}" width="${WIDTH + 160}" role="img" aria-label="${options.title}">`]
  for (let power = low; power <= high; power++) {
    const y = toY(10 ** power)
    parts.push(`<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y}" y2="${y}" stroke="#dddddd"/>`)
    parts.push(formatText(MARGIN - 6, y + 4, `${10 ** power}`, 'end'))
  }
  for (const x of new Set(xs)) parts.push(formatText(toX(x), HEIGHT - MARGIN + 18, `${x}`, 'middle'))
  options.series.forEach((series, index) => {
    const colour = COLOURS[index % COLOURS.length]!
    const line = series.points.map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`).join(' ')
    parts.push(`<polyline points="${line}" fill="none" stroke="${colour}" stroke-width="2"/>`)
    parts.push(`<text x="${WIDTH - MARGIN + 10}" y="${MARGIN + 18 * index}" fill="${colour}" font-size="12">${series.name}</text>`)
  })
  parts.push(formatText(WIDTH / 2, 20, options.title, 'middle'))
  parts.push(formatText(WIDTH / 2, HEIGHT - 12, options.x, 'middle'))
  parts.push(`<text transform="translate(14 ${HEIGHT / 2}) rotate(-90)" text-anchor="middle" font-size="12">${options.y}</text>`)
  return [...parts, '</svg>'].join('\n')
}

function formatText (x: number, y: number, content: string, anchor: string): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}" font-size="12">${content}</text>`
}

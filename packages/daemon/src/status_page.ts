/** Read-only HTML status page that the operator port serves at `/`. */
export const STATUS_PAGE = `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>fescuespool</title>
<style>
  body { font: 14px system-ui, sans-serif; margin: 2rem; color: #1b1f24; }
  h1 { font-size: 1.3rem; } h2 { font-size: 1rem; margin-top: 1.5rem; }
  table { border-collapse: collapse; min-width: 40rem; }
  th, td { text-align: left; padding: .3rem .8rem; border-bottom: 1px solid #d8dee4; }
  td.bad { color: #b42318; font-weight: 600; }
  input { font: inherit; padding: .2rem .4rem; }
</style>
<h1>fescuespool <small id="version"></small></h1>
<label>Token <input id="token" type="password" autocomplete="off"></label>
<h2>Nodes</h2><table id="nodes"></table>
<h2>Cells</h2><table id="cells"></table>
<h2>Upstreams</h2><table id="upstreams"></table>
<h2>Counters of this node</h2><table id="counters"></table>
<script>
  const GOOD = new Set(['alive', 'up', true]);
  const fill = (id, head, rows) => {
    const table = document.getElementById(id);
    table.replaceChildren();
    for (const [index, row] of [head, ...rows].entries()) {
      const line = table.insertRow();
      for (const value of row) {
        const cell = document.createElement(index === 0 ? 'th' : 'td');
        cell.textContent = String(value);
        const isState = typeof value === 'string' &&
          ['suspect', 'dead', 'leaving', 'down', 'straggler'].includes(value);
        if (index > 0 && isState && !GOOD.has(value)) cell.className = 'bad';
        line.append(cell);
      }
    }
  };
  const read = async path => {
    const token = document.getElementById('token').value;
    const headers = token ? {authorization: 'Bearer ' + token} : {};
    const res = await fetch(path, {headers});
    if (!res.ok) throw new Error(path + ' ' + res.status);
    return res.json();
  };
  const refresh = async () => {
    try {
      const nodes = await read('/nodes');
      const {cells} = await read('/cells');
      const stats = await read('/stats');
      document.getElementById('version').textContent =
        'configuration ' + nodes.configVersion + ', reported by ' + nodes.self;
      fill('nodes', ['node', 'zone', 'state', 'reachable'],
        nodes.nodes.map(n => [n.id, n.zone, n.state, n.reachable]));
      fill('cells', ['service', 'dispatcher', 'waiting by tier'],
        cells.map(c => [c.service, c.dispatcher, c.waitingByTier.join(' / ')]));
      fill('upstreams', ['service', 'upstream', 'health', 'running', 'slots', 'cached blocks'],
        cells.flatMap(c => c.upstreams.map(u =>
          [c.service, u.id, u.health, u.running, u.slots, u.cachedBlocks])));
      fill('counters', ['counter', 'count'], Object.entries(stats.counters).sort());
    } catch (e) {
      document.getElementById('version').textContent = String(e);
    }
  };
  refresh();
  setInterval(refresh, 2000);
</script>
</html>
`;

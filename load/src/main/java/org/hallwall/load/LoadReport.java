/*
 * Licensed to the hallwall project under one or more contributor
 * license agreements.  See the NOTICE file distributed with
 * this work for additional information regarding copyright
 * ownership.  The hallwall project licenses this file to You
 * under the Apache License, Version 2.0 (the "License"); you may
 * not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *   https://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing,
 * software distributed under the License is distributed on an
 * "AS IS" BASIS, WITHOUT WARRANTIES OR CONDITIONS OF ANY
 * KIND, either express or implied.  See the License for the
 * specific language governing permissions and limitations
 * under the License.
 */
package org.hallwall.load;

import java.awt.Color;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.hallwall.core.settings.Json;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes the report of an experiment as text, JSON and an SVG plot over time with the injected faults. */
final class LoadReport {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int WIDTH = 900;
    private static final int HEIGHT = 450;

    private final LoadResult result;

    LoadReport(LoadResult result) {
        this.result = result;
    }

    String text() {
        LoadResult.Summary s = result.summary();
        StringBuilder out = new StringBuilder();
        appendLine(out, "experiment %s: %.0f requests/s, %d counted", s.name(), s.requestsPerSecond(), s.requests());
        appendLine(
                out, "  whole and own %d, open %d, ran twice against their mark %d", s.whole(), s.open(), s.ranTwice());
        for (Map.Entry<String, Integer> e : s.outcomes().entrySet()) {
            appendLine(out, "  %-40s %8d", e.getKey(), e.getValue());
        }
        appendLine(out, "  %-14s %10s %10s %10s %10s", "milliseconds", "p50", "p95", "p99", "max");
        appendPercentiles(out, "first token", s.firstTokenMillis());
        appendPercentiles(out, "gap", s.gapMillis());
        appendPercentiles(out, "whole", s.wholeMillis());
        return out.toString();
    }

    void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        String name = result.experiment().name();
        Files.writeString(folder.resolve(name + ".txt"), text());
        Files.writeString(
                folder.resolve(name + ".json"), Json.PRETTY_MAPPER.writeValueAsString(result.summary()) + "\n");
        try (OutputStream out = Files.newOutputStream(folder.resolve(name + ".svg"))) {
            VectorGraphicsEncoder.saveVectorGraphic(createChart(), out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        }
    }

    private XYChart createChart() {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(result.experiment().name())
                .xAxisTitle("seconds from the start")
                .yAxisTitle("first token, milliseconds")
                .build();
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
        chart.getStyler().setMarkerSize(4);
        addOutcomes(chart, "whole", true, Color.BLUE);
        addOutcomes(chart, "refused or broken", false, Color.RED);
        addFaults(chart);
        return chart;
    }

    private void addOutcomes(XYChart chart, String name, boolean whole, Color color) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        for (LoadOutcome o : result.outcomes()) {
            if (o.kind().equals(LoadOutcome.WHOLE) == whole) {
                x.add(o.request().dueNanos() / NANOS_PER_SECOND);
                y.add((whole ? o.firstTokenNanos() : o.totalNanos()) / NANOS_PER_MILLI);
            }
        }
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.CIRCLE).setMarkerColor(color);
        }
    }

    private void addFaults(XYChart chart) {
        double top = result.summary().firstTokenMillis().max();
        int n = 0;
        for (LoadExperiment.Fault f : result.experiment().faults()) {
            double at = result.experiment().warmupSeconds() + f.atMillis() / 1e3;
            XYSeries s =
                    chart.addSeries("fault " + ++n + " " + f.change(), List.of(at, at), List.of(0.0, Math.max(1, top)));
            s.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Line).setMarker(SeriesMarkers.NONE);
        }
    }

    private static void appendPercentiles(StringBuilder out, String name, LoadResult.Percentiles p) {
        appendLine(out, "  %-14s %10.2f %10.2f %10.2f %10.2f", name, p.p50(), p.p95(), p.p99(), p.max());
    }

    private static void appendLine(StringBuilder out, String format, Object... args) {
        out.append(String.format(Locale.ROOT, format, args)).append('\n');
    }
}

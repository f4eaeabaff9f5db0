package org.baobabspindle.lab;

import java.io.IOException;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws results of experiments as PNG charts. */
final class ResultCharts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    private ResultCharts() {}

    /** A named distribution of times in milliseconds. */
    record LatencySeries(String name, Histogram millis) {}

    /** Writes a chart with one line for each distribution, over percentiles 0 to 99. */
    static void percentiles(String file, List<LatencySeries> distributions) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Time to the first token")
                .xAxisTitle("percentile")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setMarkerSize(0);
        double[] percentiles = new double[100];
        for (int i = 0; i < percentiles.length; i++) {
            percentiles[i] = i;
        }
        for (LatencySeries d : distributions) {
            double[] values = new double[percentiles.length];
            for (int i = 0; i < values.length; i++) {
                values[i] = d.millis().getValueAtPercentile(percentiles[i]);
            }
            chart.addSeries(d.name(), percentiles, values);
        }
        BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
    }
}
